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
	"sync"
)

const (
	// typicalHeadBytes is the size of the buffer for a head; larger heads extend it.
	typicalHeadBytes = 512
	// parseBufferBytes is the size of the buffer from which a head is parsed.
	parseBufferBytes = 1 << 10
)

var errIndented = errors.New("malformed response: a field line begins with a blank")

// parsers holds readers from which heads are parsed.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, parseBufferBytes) }}

// ReadResponse is like http.ReadResponse, but returns an error if the head breaks the
// format or has more than maxBytes. A field line that is continued on another line, an
// obsolete form that a gateway may reject (RFC 9112, section 5.2), breaks it too, since
// it cannot be told from a name after a blank.
//
// It does not read beyond the response. The body ends with an error if the trailer
// breaks the format; trailer fields are dropped. Close of the body has no effect.
func ReadResponse(r *bufio.Reader, request *http.Request, maxBytes int) (*http.Response, error) {
	head, err := readSection(r, maxBytes)
	if err != nil {
		return nil, err
	}
	response, err := parse(head, func(p *bufio.Reader) (*http.Response, error) { return http.ReadResponse(p, request) })
	if err == nil {
		err = Check(response)
	}
	switch {
	case err != nil:
		return nil, err
	case response.ProtoMajor != 1:
		return nil, fmt.Errorf("malformed response: unexpected version %q", response.Proto)
	case response.ProtoMinor == 0 && hasTransferCoding(head):
		return nil, errors.New("malformed response: transfer coding in a response of HTTP/1.0")
	case response.Body == http.NoBody:
	case response.ContentLength >= 0:
		response.Body = io.NopCloser(&sizedBody{io.LimitedReader{R: r, N: response.ContentLength}})
	case len(response.TransferEncoding) > 0:
		response.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r), source: r, maxBytes: maxBytes})
	default:
		response.Body = io.NopCloser(r)
	}
	return response, nil
}

// hasTransferCoding reports whether a head has a Transfer-Encoding field, which
// http.ReadResponse drops from responses of HTTP/1.0. Their framing is faulty (RFC 9112,
// section 6.1).
func hasTransferCoding(head []byte) bool {
	return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
}

// parse parses a section that has been read.
func parse[T any](section []byte, with func(*bufio.Reader) (T, error)) (T, error) {
	parser, _ := parsers.Get().(*bufio.Reader)
	defer parsers.Put(parser)
	defer parser.Reset(nil) // releases the section
	parser.Reset(bytes.NewReader(section))
	return with(parser)
}

// readSection reads field lines and the empty line that ends them.
func readSection(r *bufio.Reader, maxBytes int) ([]byte, error) {
	section := make([]byte, 0, typicalHeadBytes)
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		section = append(section, part...)
		line := section[lineStart:]
		switch {
		case len(section) > maxBytes:
			return nil, fmt.Errorf("malformed response: head or trailer has more than %d bytes", maxBytes)
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case line[0] == ' ' || line[0] == '\t':
			return nil, errIndented
		case string(line) == "\r\n" || string(line) == "\n":
			return section, nil
		default:
			lineStart = len(section)
		}
	}
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

func (b *chunkedBody) readTrailer() error {
	section, err := readSection(b.source, b.maxBytes)
	if err != nil {
		return err
	}
	trailer, err := parse(section, func(p *bufio.Reader) (textproto.MIMEHeader, error) {
		return textproto.NewReader(p).ReadMIMEHeader()
	})
	return cmp.Or(err, checkNames(http.Header(trailer)))
}
