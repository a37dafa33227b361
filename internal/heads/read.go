package heads

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
)

const (
	// typicalSectionBytes is the size of the buffer for a section; larger ones extend it.
	typicalSectionBytes = 512
	// parseBufferBytes is the size of the buffer from which a section is parsed.
	parseBufferBytes = 1 << 10
)

// ReadResponse is like http.ReadResponse, but returns an error if the head breaks the
// format or has more than maxBytes. A field line that is continued on another line, an
// obsolete form that a gateway may reject (RFC 9112, section 5.2), breaks it too, since
// it cannot be told from a name after a blank.
//
// It does not read beyond the response. The body ends with an error if the trailer
// breaks the format; trailer fields are dropped. Close of the body has no effect.
func ReadResponse(r *bufio.Reader, request *http.Request, maxBytes int) (*http.Response, error) {
	s := sections.get()
	defer s.release()
	if err := s.read(r, maxBytes); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(s.parser, request)
	if err == nil {
		err = Check(response)
	}
	switch {
	case err != nil:
		return nil, err
	case response.ProtoMajor != 1:
		return nil, fmt.Errorf("%w: unexpected version %q", errMalformed, response.Proto)
	case response.ProtoMinor == 0 && s.hasTransferCoding():
		return nil, fmt.Errorf("%w: transfer coding in HTTP/1.0", errMalformed)
	case response.Body == http.NoBody:
	case response.ContentLength >= 0:
		response.Body = &sizedBody{io.LimitedReader{R: r, N: response.ContentLength}}
	case len(response.TransferEncoding) > 0:
		response.Body = &chunkedBody{chunks: httputil.NewChunkedReader(r), source: r, maxBytes: maxBytes}
	default:
		response.Body = io.NopCloser(r)
	}
	return response, nil
}

// section holds the lines of a head or a trailer, with the empty line that ends them,
// and a reader to parse them from.
type section struct {
	lines  []byte
	source bytes.Reader
	parser *bufio.Reader
}

var sections = newPool(newSection)

func newSection() *section {
	return &section{lines: make([]byte, 0, typicalSectionBytes), parser: bufio.NewReaderSize(nil, parseBufferBytes)}
}

// release makes the section available for another use, unless its buffer has grown.
func (s *section) release() {
	if cap(s.lines) <= parseBufferBytes {
		sections.put(s)
	}
}

// read reads the lines of a section.
func (s *section) read(r *bufio.Reader, maxBytes int) error {
	s.lines = s.lines[:0]
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		s.lines = append(s.lines, part...)
		line := s.lines[lineStart:]
		switch {
		case len(s.lines) > maxBytes:
			return fmt.Errorf("%w: head or trailer has more than %d bytes", errMalformed, maxBytes)
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case line[0] == ' ' || line[0] == '\t':
			return fmt.Errorf("%w: a field line begins with a blank", errMalformed)
		case string(line) == "\r\n" || string(line) == "\n":
			s.source.Reset(s.lines)
			s.parser.Reset(&s.source)
			return nil
		default:
			lineStart = len(s.lines)
		}
	}
}

// hasTransferCoding reports whether a head has a Transfer-Encoding field, which
// http.ReadResponse drops from responses of HTTP/1.0. Their framing is faulty (RFC 9112,
// section 6.1).
func (s *section) hasTransferCoding() bool {
	return bytes.Contains(bytes.ToLower(s.lines), []byte("\ntransfer-encoding:"))
}

// sizedBody is a body of a known length.
type sizedBody struct{ io.LimitedReader }

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the source ends first.
func (b *sizedBody) Read(to []byte) (int, error) {
	n, err := b.LimitedReader.Read(to)
	if errors.Is(err, io.EOF) && b.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (*sizedBody) Close() error { return nil }

// chunkedBody is a body in chunks and the trailer after it.
type chunkedBody struct {
	chunks   io.Reader
	source   *bufio.Reader
	maxBytes int
	err      error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(to []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(to)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(b.readTrailer(), err)
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (*chunkedBody) Close() error { return nil }

func (b *chunkedBody) readTrailer() error {
	s := sections.get()
	defer s.release()
	if err := s.read(b.source, b.maxBytes); err != nil {
		return err
	}
	if bytes.Count(s.lines, []byte("\n")) != bytes.Count(s.lines, []byte("\r\n")) {
		return fmt.Errorf("%w: bare line feed in the trailer", errMalformed) // which net/http accepts in heads only
	}
	trailer, err := textproto.NewReader(s.parser).ReadMIMEHeader()
	return cmp.Or(err, checkNames(http.Header(trailer)))
}
