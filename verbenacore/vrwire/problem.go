package vrwire

import (
	"maps"
	"slices"

	"verbenaroute.example/verbenacore/vrid"
)

// Reason is the stable code of a refusal, which clients may rely on.
type Reason string

// Reasons of refusals.
const (
	ReasonInvalidRequest           Reason = "invalidRequest"
	ReasonIdempotencyKeyMissing    Reason = "idempotencyKeyMissing"
	ReasonUnauthorized             Reason = "unauthorized"
	ReasonUnknownModel             Reason = "unknownModel"
	ReasonUnknownService           Reason = "unknownService"
	ReasonBodyTooLarge             Reason = "bodyTooLarge"
	ReasonIdempotencyKeyReused     Reason = "idempotencyKeyReused"
	ReasonQueueFull                Reason = "queueFull"
	ReasonCallerShareExceeded      Reason = "callerShareExceeded"
	ReasonDeadlineUnreachable      Reason = "deadlineUnreachable"
	ReasonDeadlineExceeded         Reason = "deadlineExceeded"
	ReasonNoReplica                Reason = "noReplica"
	ReasonClaimUnavailable         Reason = "claimUnavailable"
	ReasonOutcomeUnknown           Reason = "outcomeUnknown"
	ReasonBackendFailed            Reason = "backendFailed"
	ReasonConfigurationUnavailable Reason = "configurationUnavailable"
	ReasonNoConfiguration          Reason = "noConfiguration"
	ReasonShuttingDown             Reason = "shuttingDown"
	ReasonCallerGone               Reason = "callerGone"
	ReasonPromptQuarantined        Reason = "promptQuarantined"
	ReasonTenantUnknown            Reason = "tenantUnknown"
	ReasonKeyUnverified            Reason = "keyUnverified"
	ReasonQuotaExceeded            Reason = "quotaExceeded"
	ReasonServersFull              Reason = "serversFull"
)

type reasonInfo struct {
	status int
	title  string
}

const (
	statusBadRequest    = 400
	statusUnauthorized  = 401
	statusNotFound      = 404
	statusTooLarge      = 413
	statusUnprocessable = 422
	statusTooMany       = 429
	statusClientClosed  = 499
	statusBadGateway    = 502
	statusUnavailable   = 503
	statusTimeout       = 504
)

var _reasons = map[Reason]reasonInfo{
	ReasonInvalidRequest:           {statusBadRequest, "The request is invalid"},
	ReasonIdempotencyKeyMissing:    {statusBadRequest, "The call needs an Idempotency-Key header"},
	ReasonUnauthorized:             {statusUnauthorized, "The token is missing or unknown"},
	ReasonUnknownModel:             {statusNotFound, "The model is not declared"},
	ReasonUnknownService:           {statusNotFound, "The service or call is not declared"},
	ReasonBodyTooLarge:             {statusTooLarge, "The body is too large"},
	ReasonIdempotencyKeyReused:     {statusUnprocessable, "The idempotency key was used for another call"},
	ReasonQueueFull:                {statusTooMany, "The queue is full"},
	ReasonCallerShareExceeded:      {statusTooMany, "The caller's share is used up"},
	ReasonDeadlineUnreachable:      {statusUnavailable, "The deadline can't be met"},
	ReasonDeadlineExceeded:         {statusTimeout, "The deadline passed while the request waited"},
	ReasonNoReplica:                {statusUnavailable, "No replica can serve the request"},
	ReasonClaimUnavailable:         {statusUnavailable, "The idempotency key can't be claimed now"},
	ReasonOutcomeUnknown:           {statusBadGateway, "It is not known whether the call ran"},
	ReasonBackendFailed:            {statusBadGateway, "The back end failed"},
	ReasonConfigurationUnavailable: {statusUnavailable, "The configuration can't be changed now"},
	ReasonNoConfiguration:          {statusUnavailable, "The daemon has no configuration yet"},
	ReasonShuttingDown:             {statusUnavailable, "The daemon is shutting down"},
	ReasonCallerGone:               {statusClientClosed, "The caller closed the connection"},
	ReasonPromptQuarantined:        {statusUnavailable, "A part of the prompt crashes servers"},
	ReasonTenantUnknown:            {statusUnauthorized, "The API key is missing or belongs to no tenant"},
	ReasonKeyUnverified:            {statusUnavailable, "The API key can't be verified now"},
	ReasonQuotaExceeded:            {statusTooMany, "The tenant's quota is used up"},
	ReasonServersFull:              {statusUnavailable, "All servers that could run the request are full"},
}

// Reasons lists every reason in alphabetical order.
func Reasons() []Reason { return slices.Sorted(maps.Keys(_reasons)) }

// Status returns the HTTP status of the refusal.
func (r Reason) Status() int {
	if info, ok := _reasons[r]; ok {
		return info.status
	}
	return statusUnavailable
}

// Title returns the short text of the refusal.
func (r Reason) Title() string { return _reasons[r].title }

// Problem is the body of a refusal, as application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason Reason `json:"reason"`
	// Ran is "no", "unknown" or "yes".
	Ran string `json:"ran"`
	// NotRun is true only when the request certainly did not run.
	NotRun    bool           `json:"notRun"`
	RequestID vrid.RequestID `json:"requestId"`
	// Error repeats the title and the reason for clients that read only an error object.
	Error ProblemError `json:"error"`
}

// ProblemError is an error object as in the OpenAI API, whose clients show "no body" for a
// response with problem details only.
type ProblemError struct {
	Message string `json:"message"`
	Code    Reason `json:"code"`
}

// NewProblemError returns the error object for a reason.
func NewProblemError(reason Reason) ProblemError {
	return ProblemError{Message: reason.Title(), Code: reason}
}

// ContentTypeProblem is the media type of a Problem.
const ContentTypeProblem = "application/problem+json"

// Header names of the HTTP interface for callers.
const (
	HeaderRequestID      = "X-Verbena-Request-Id"
	HeaderKind           = "X-Verbena-Kind"
	HeaderRank           = "X-Verbena-Rank"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotent-Replayed"
)
