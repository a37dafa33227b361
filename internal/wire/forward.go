package wire

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/peer"
	"toucanpulley.example/pkg/entry"
)

// EncodeForwardedError returns the message for an error of a forwarded request.
func EncodeForwardedError(err *connect.Error) *peer.ForwardResponse {
	m := &peer.ForwardResponse{ErrorCode: uint32(err.Code()), ErrorMessage: err.Message()}
	if d, ok := refusalDetail(err); ok {
		// Encoding a decoded message cannot fail.
		m.Refusal, _ = proto.Marshal(d)
	}
	return m
}

// DecodeForwardedError returns the error of a forwarded request, which equals the
// error that the peer would have returned to a direct caller.
func DecodeForwardedError(m *peer.ForwardResponse) error {
	err := connect.NewError(connect.Code(m.GetErrorCode()), errors.New(m.GetErrorMessage()))
	var refusal entry.Refusal
	if len(m.GetRefusal()) == 0 || proto.Unmarshal(m.GetRefusal(), &refusal) != nil {
		return err
	}
	if d, detailErr := connect.NewErrorDetail(&refusal); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

// refusalDetail returns the refusal from the details of an error.
func refusalDetail(err *connect.Error) (*entry.Refusal, bool) {
	for _, d := range err.Details() {
		value, detailErr := d.Value()
		if m, ok := value.(*entry.Refusal); ok && detailErr == nil {
			return m, true
		}
	}
	return nil, false
}
