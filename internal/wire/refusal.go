package wire

import (
	"errors"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/pkg/entry"
)

// refusalCodes maps refusal reasons to connect codes. All other reasons map to
// connect.CodeUnavailable.
var refusalCodes = map[model.Reason]connect.Code{
	model.ReasonBadRequest:       connect.CodeInvalidArgument,
	model.ReasonTooLarge:         connect.CodeInvalidArgument,
	model.ReasonKeyMissing:       connect.CodeInvalidArgument,
	model.ReasonKeyOutsideWindow: connect.CodeInvalidArgument,
	model.ReasonUnauthenticated:  connect.CodeUnauthenticated,
	model.ReasonUnknownService:   connect.CodeNotFound,
	model.ReasonUnknownScope:     connect.CodeNotFound,
	model.ReasonAccountLimit:     connect.CodeResourceExhausted,
	model.ReasonQueueFull:        connect.CodeResourceExhausted,
	model.ReasonDeadlineTooShort: connect.CodeResourceExhausted,
	model.ReasonDeadlineExpired:  connect.CodeDeadlineExceeded,
	model.ReasonCallerCancelled:  connect.CodeCanceled,
	model.ReasonQuarantined:      connect.CodeFailedPrecondition,
	model.ReasonClaimHeld:        connect.CodeAborted,
	model.ReasonOutcomeUnknown:   connect.CodeUnknown,
}

// RefusalError returns a connect error for a refusal. An error detail holds the
// reason, the execution and alternative addresses.
func RefusalError(r model.Refusal) error {
	code, ok := refusalCodes[r.Reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	err := connect.NewError(code, r)
	execution := entry.Execution_EXECUTION_MAY_HAVE_RUN
	if r.Execution == model.NotRun {
		execution = entry.Execution_EXECUTION_NOT_RUN
	}
	detail, detailErr := connect.NewErrorDetail(&entry.Refusal{
		Reason: string(r.Reason), Execution: execution, Addresses: AddressMessages(r.Alternatives),
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

// RefusalOf returns the refusal in an error from an entry host. It returns false
// if the error carries none.
func RefusalOf(err error) (model.Refusal, bool) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return model.Refusal{}, false
	}
	m, ok := refusalDetail(ce)
	if !ok {
		return model.Refusal{}, false
	}
	r := model.Refusal{Reason: model.Reason(m.GetReason()), Detail: ce.Message()}
	if m.GetExecution() == entry.Execution_EXECUTION_NOT_RUN {
		r.Execution = model.NotRun
	}
	for _, a := range m.GetAddresses() {
		r.Alternatives = append(r.Alternatives, model.EntryAddress{
			Host: model.HostID(a.GetHost()), Address: model.Address(a.GetAddress()),
			FailureDomain: model.FailureDomain(a.GetFailureDomain()), Weight: a.GetWeight(),
		})
	}
	return r, true
}
