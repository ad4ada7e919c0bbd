package vrwire

import "verbenaroute.example/verbenacore/vrid"

// Limits of the numbers in messages about quotas.
const (
	// MaxQuotaItems is the maximum number of tenants in one message.
	MaxQuotaItems = 256
	// MaxQuotaAmount is the maximum amount of credit in one item.
	MaxQuotaAmount = 1 << 40
	// MaxQuotaTerm is the maximum duration of a delegation in milliseconds. A daemon that restarts waits
	// longer than this before it delegates its part again.
	MaxQuotaTerm = 1200
	// maxQuotaDaemons and maxQuotaRetryAfter, the latter in milliseconds, only exclude malformed messages.
	maxQuotaDaemons    = 1 << 16
	maxQuotaRetryAfter = 60_000
	// maxQuotaTime is the largest time of an allocator's clock in milliseconds. A larger one would overflow a
	// time.Duration.
	maxQuotaTime = 1 << 40
)

// QuotaNeed is what a daemon needs of the quota of a tenant.
type QuotaNeed struct {
	Tenant vrid.TenantID `protobuf:"bytes,1,opt,name=tenant,proto3"`
	// Amount is the whole need: what the waiting calls cost, and what the daemon asks for in advance.
	Amount int64 `protobuf:"varint,2,opt,name=amount,proto3"`
	// Urgent is what the waiting calls cost, Least the cost of the cheapest of them. Both are zero if no
	// call waits.
	Urgent int64 `protobuf:"varint,3,opt,name=urgent,proto3"`
	Least  int64 `protobuf:"varint,4,opt,name=least,proto3"`
}

// QuotaRequest is sent by a daemon to its allocator. It delegates the daemon's part of all quotas and asks
// for credit.
type QuotaRequest struct {
	// Number numbers the requests of one run of the daemon, beginning with 1.
	Number uint64 `protobuf:"varint,1,opt,name=number,proto3"`
	// EchoBoot and Echo repeat the sender's boot and Time of a reply of the allocator. EchoBoot is empty if
	// nothing is delegated.
	EchoBoot vrid.BootID `protobuf:"bytes,2,opt,name=echoBoot,proto3"`
	Echo     int64       `protobuf:"varint,3,opt,name=echo,proto3"`
	// Term is how long after Echo, by the allocator's clock, the delegation counts, in milliseconds.
	Term int64 `protobuf:"varint,4,opt,name=term,proto3"`
	// Daemons is the number of parts that each quota is divided into. If it is zero, the request ends the
	// delegation.
	Daemons uint32 `protobuf:"varint,5,opt,name=daemons,proto3"`
	// Registered is the number of daemons in the sender's last list, zero if it has none.
	Registered uint32      `protobuf:"varint,6,opt,name=registered,proto3"`
	Needs      []QuotaNeed `protobuf:"bytes,7,rep,name=needs,proto3"`
}

// Validate checks that the numbers are in their bounds.
func (q *QuotaRequest) Validate() error {
	switch {
	case q.Number == 0:
		return &DecodeError{Message: "QuotaRequest", Field: "number", Problem: "is zero"}
	case q.Echo < 0 || q.Echo > maxQuotaTime || q.Term < 0 || q.Term > MaxQuotaTerm:
		return &DecodeError{Message: "QuotaRequest", Field: "term", Problem: "the time of a delegation is out of bounds"}
	case q.Daemons > maxQuotaDaemons || q.Registered > maxQuotaDaemons:
		return &DecodeError{Message: "QuotaRequest", Field: "daemons", Problem: "a number of daemons is out of bounds"}
	case q.Daemons > 0 && q.EchoBoot == "":
		return &DecodeError{Message: "QuotaRequest", Field: "echoBoot", Problem: "a delegation names no run of the allocator"}
	case len(q.Needs) > MaxQuotaItems:
		return &DecodeError{Message: "QuotaRequest", Field: "needs", Problem: "there are too many"}
	}
	for i := range q.Needs {
		need := &q.Needs[i]
		if need.Tenant == "" || need.Amount <= 0 || need.Amount > MaxQuotaAmount || need.Urgent < 0 || need.Urgent > need.Amount ||
			need.Least < 0 || need.Least > need.Urgent || (need.Urgent > 0 && need.Least == 0) {
			return &DecodeError{Message: "QuotaRequest", Field: "needs", Problem: "a need has no tenant or an amount out of bounds"}
		}
	}
	return nil
}

// QuotaGrant is the answer to a QuotaNeed.
type QuotaGrant struct {
	Tenant vrid.TenantID `protobuf:"bytes,1,opt,name=tenant,proto3"`
	// Granted is the credit that the daemon may spend.
	Granted int64 `protobuf:"varint,2,opt,name=granted,proto3"`
	// RetryAfter is set if Granted is less than the waiting calls cost because the tenant has reached its
	// limit: the time until the cheapest of them can have credit, in milliseconds. If it is zero, the
	// allocator can't tell, for example because it has too few parts.
	RetryAfter int64 `protobuf:"varint,3,opt,name=retryAfter,proto3"`
}

// QuotaReply is an allocator's answer to a QuotaRequest.
type QuotaReply struct {
	// To is the run of the daemon that sent the request, and Number the request's number.
	To     vrid.BootID `protobuf:"bytes,1,opt,name=to,proto3"`
	Number uint64      `protobuf:"varint,2,opt,name=number,proto3"`
	// Time is the time of the allocator's own clock, in milliseconds since a point in its run.
	Time int64 `protobuf:"varint,3,opt,name=time,proto3"`
	// Daemons is the largest number of registered daemons that the allocator knows of, zero for none.
	Daemons uint32       `protobuf:"varint,4,opt,name=daemons,proto3"`
	Grants  []QuotaGrant `protobuf:"bytes,5,rep,name=grants,proto3"`
}

// Validate checks that the numbers are in their bounds.
func (q *QuotaReply) Validate() error {
	switch {
	case q.To == "" || q.Number == 0:
		return &DecodeError{Message: "QuotaReply", Field: "to", Problem: "it names no request"}
	case q.Time < 0 || q.Time > maxQuotaTime:
		return &DecodeError{Message: "QuotaReply", Field: "time", Problem: "is out of bounds"}
	case q.Daemons > maxQuotaDaemons:
		return &DecodeError{Message: "QuotaReply", Field: "daemons", Problem: "the number of daemons is out of bounds"}
	case len(q.Grants) > MaxQuotaItems:
		return &DecodeError{Message: "QuotaReply", Field: "grants", Problem: "there are too many"}
	}
	for i := range q.Grants {
		grant := &q.Grants[i]
		if grant.Tenant == "" || grant.Granted < 0 || grant.Granted > MaxQuotaAmount || grant.RetryAfter < 0 || grant.RetryAfter > maxQuotaRetryAfter {
			return &DecodeError{Message: "QuotaReply", Field: "grants", Problem: "a grant has no tenant or a number out of bounds"}
		}
	}
	return nil
}
