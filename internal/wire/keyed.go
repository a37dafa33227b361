package wire

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/pkg/entry"
)

const (
	// maxKeyBytes is the maximum size of an idempotency key.
	maxKeyBytes = 128
	// maxBodyBytes is the maximum size of the body of a request with an
	// idempotency key.
	maxBodyBytes = 64 << 10
)

// KeyedRequest validates a caller's non-idempotent request, which carries an
// idempotency key, and returns it with the id that this host assigned, or a
// refusal. It does not set the deadline.
func KeyedRequest(m *entry.SendRequest, id model.RequestID) (model.KeyedRequest, *model.Refusal) {
	refuse := func(reason model.Reason, field, allowed string) (model.KeyedRequest, *model.Refusal) {
		r := model.NewRefusal(reason, "%s is not allowed; allowed: %s", field, allowed)
		return model.KeyedRequest{}, &r
	}
	switch {
	case m.GetKey() == "":
		return refuse(model.ReasonKeyMissing, "an empty key", "1 to 128 bytes")
	case len(m.GetKey()) > maxKeyBytes:
		return refuse(model.ReasonBadRequest, "key", "1 to 128 bytes")
	case m.GetKeyIssuedMs() <= 0:
		return refuse(model.ReasonBadRequest, "key_issued_ms", "the time at which the key was issued, in milliseconds since the Unix epoch")
	case len(m.GetRequestId()) > maxIDBytes:
		return refuse(model.ReasonBadRequest, "request_id", "up to 128 bytes")
	case m.GetAccount() == "" || m.GetService() == "":
		return refuse(model.ReasonBadRequest, "account or service", "not empty")
	case len(m.GetBody()) > maxBodyBytes:
		return refuse(model.ReasonTooLarge, "body", "up to 65536 bytes")
	}
	return model.NewKeyedRequest(id, model.ClientAccount(m.GetAccount()), model.ServiceName(m.GetService()),
		m.GetKey(), time.UnixMilli(m.GetKeyIssuedMs())).WithBody(m.GetBody()), nil
}

// SendResponse returns the message for an answer that is not a refusal, with the
// request id that the caller chose.
func SendResponse(a model.KeyedAnswer, callerID string, host model.HostID) *entry.SendResponse {
	return &entry.SendResponse{
		RequestId: callerID, Result: a.Result, Repeated: a.Repeated,
		SettingsRevision: uint64(a.Revision), Host: string(host),
	}
}
