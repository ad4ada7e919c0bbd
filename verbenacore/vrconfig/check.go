package vrconfig

import (
	"errors"
	"fmt"
	"strings"

	"verbenaroute.example/verbenacore/vrid"
)

// FieldError is one mistake in a configuration or settings document.
type FieldError struct {
	// Field is the path of the field, for example "models[2].base".
	Field string
	// Found is the value as it stands.
	Found string
	// Allowed says what may stand there.
	Allowed string
	// Line and Column are the place in the file, or 0 when it is not known.
	Line, Column int
}

func (e *FieldError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%d:%d: %s: found %s, allowed: %s", e.Line, e.Column, e.Field, e.Found, e.Allowed)
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", e.Field, e.Found, e.Allowed)
}

// CheckError holds every mistake of a document.
type CheckError struct {
	Fields []*FieldError
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives errors.As access to each mistake.
func (e *CheckError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, field := range e.Fields {
		errs[i] = field
	}
	return errs
}

// Checker collects the mistakes of one document.
type Checker struct {
	fields []*FieldError
}

// Require notes a mistake unless ok.
func (c *Checker) Require(ok bool, field string, found any, allowed string) {
	if ok {
		return
	}
	c.fields = append(c.fields, &FieldError{Field: field, Found: fmt.Sprintf("%v", found), Allowed: allowed})
}

// Add notes a mistake with its place.
func (c *Checker) Add(mistake *FieldError) { c.fields = append(c.fields, mistake) }

// Merge adds the mistakes of an error from another check.
func (c *Checker) Merge(err error) {
	var check *CheckError
	if errors.As(err, &check) {
		c.fields = append(c.fields, check.Fields...)
	}
}

// Err returns all mistakes as a *CheckError, or nil.
func (c *Checker) Err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &CheckError{Fields: c.fields}
}

// Validate checks the configuration as a whole and reports every mistake at once.
func (f *Fleet) Validate() error {
	c := &Checker{}
	zones := f.checkRegions(c)
	pools := f.checkPools(c)
	kinds := f.checkRanks(c)
	f.checkModels(c, zones, pools, kinds)
	f.checkServices(c, pools, kinds)
	f.checkLimits(c)
	return c.Err()
}

func (f *Fleet) checkRegions(c *Checker) map[vrid.ZoneID]bool {
	zones := make(map[vrid.ZoneID]bool)
	c.Require(f.Version >= 1, "version", f.Version, "1 or more")
	c.Require(len(f.Regions) > 0, "regions", "none", "at least one region")
	for i, region := range f.Regions {
		c.Require(region.ID != "", at("regions", i, "id"), `""`, "a name")
		c.Require(len(region.Zones) > 0, at("regions", i, "zones"), "none", "at least one zone")
		for _, zone := range region.Zones {
			c.Require(!zones[zone], at("regions", i, "zones"), zone, "each zone once")
			zones[zone] = true
		}
	}
	return zones
}

func (f *Fleet) checkPools(c *Checker) map[vrid.PoolID]*Pool {
	pools := make(map[vrid.PoolID]*Pool)
	for i := range f.Pools {
		pool := &f.Pools[i]
		c.Require(pool.ID != "" && pools[pool.ID] == nil, at("pools", i, "id"), quote(pool.ID), "a name that stands once")
		pools[pool.ID] = pool
		c.Require(pool.Slots > 0, at("pools", i, "slots"), pool.Slots, "1 or more")
		switch pool.Kind {
		case KindLanguageServer:
			c.Require(pool.Memory > 0, at("pools", i, "memory"), pool.Memory, "more than 0 bytes")
		case KindApplicationServer:
		default:
			c.Require(false, at("pools", i, "kind"), quote(pool.Kind), "languageServer or applicationServer")
		}
	}
	return pools
}

func (f *Fleet) checkRanks(c *Checker) map[vrid.KindID]bool {
	seen := make(map[vrid.Rank]bool)
	floors := 0.0
	for i, policy := range f.Ranks {
		c.Require(!seen[policy.Rank], at("ranks", i, "rank"), policy.Rank, "each rank once")
		seen[policy.Rank] = true
		c.Require(policy.Target > 0, at("ranks", i, "target"), policy.Target, "more than 0s")
		c.Require(policy.Deadline >= policy.Target, at("ranks", i, "deadline"), policy.Deadline, "at least the target")
		c.Require(policy.Weight > 0, at("ranks", i, "worth"), policy.Weight, "more than 0")
		c.Require(policy.Floor >= 0 && policy.Floor <= 1, at("ranks", i, "floor"), policy.Floor, "0 to 1")
		c.Require(policy.Objective > 0 && policy.Objective < 1, at("ranks", i, "objective"), policy.Objective, "more than 0, less than 1")
		c.Require(policy.CallerShare > 0 && policy.CallerShare <= 1, at("ranks", i, "callerShare"), policy.CallerShare, "more than 0, at most 1")
		floors += policy.Floor
	}
	c.Require(len(seen) == vrid.RankCount, "ranks", len(seen), "all three ranks")
	c.Require(floors <= 1, "ranks[].floor", fmt.Sprintf("a sum of %g", floors), "a sum of at most 1")
	kinds := make(map[vrid.KindID]bool)
	for i, kind := range f.Kinds {
		c.Require(kind.ID != "" && !kinds[kind.ID], at("kinds", i, "id"), quote(kind.ID), "a name that stands once")
		kinds[kind.ID] = true
		c.Require(kind.Deadline >= 0, at("kinds", i, "deadline"), kind.Deadline, "0s or more")
	}
	return kinds
}

func (f *Fleet) checkModels(c *Checker, zones map[vrid.ZoneID]bool, pools map[vrid.PoolID]*Pool, kinds map[vrid.KindID]bool) {
	names := make(map[string]bool)
	bases := make(map[vrid.ModelID]*Model)
	for i := range f.Models {
		model := &f.Models[i]
		c.Require(model.ID != "" && !names[string(model.ID)], at("models", i, "id"), quote(model.ID), "a name that stands once")
		names[string(model.ID)] = true
		bases[model.ID] = model
		c.Require(model.Memory > 0, at("models", i, "memory"), model.Memory, "more than 0 bytes")
		c.Require(model.LoadTime >= 0, at("models", i, "loadTime"), model.LoadTime, "0s or more")
		c.Require(model.ReplicasPerZone >= 0, at("models", i, "replicasPerZone"), model.ReplicasPerZone, "0 or more")
		c.Require(kinds[model.Kind], at("models", i, "kind"), quote(model.Kind), "a declared kind")
		pool := pools[model.Pool]
		if c.Require(pool != nil, at("models", i, "pool"), quote(model.Pool), "a declared pool"); pool != nil {
			c.Require(pool.Kind == KindLanguageServer, at("models", i, "pool"), quote(model.Pool), "a pool of language servers")
			c.Require(model.Memory <= pool.Memory, at("models", i, "memory"), model.Memory, fmt.Sprintf("at most the pool's %d bytes", pool.Memory))
		}
		for _, zone := range model.Zones {
			c.Require(zones[zone], at("models", i, "zones"), quote(zone), "declared zones")
		}
	}
	for i, adapter := range f.Adapters {
		c.Require(adapter.ID != "" && !names[string(adapter.ID)], at("adapters", i, "id"), quote(adapter.ID), "a name that no model or adapter has")
		names[string(adapter.ID)] = true
		base := bases[adapter.Base]
		c.Require(base != nil, at("adapters", i, "base"), quote(adapter.Base), "a declared model")
		c.Require(adapter.Memory > 0, at("adapters", i, "memory"), adapter.Memory, "more than 0 bytes")
		if base != nil && pools[base.Pool] != nil {
			limit := pools[base.Pool].Memory - base.Memory
			c.Require(adapter.Memory <= limit, at("adapters", i, "memory"), adapter.Memory, fmt.Sprintf("at most the %d bytes beside its base", limit))
		}
		c.Require(adapter.Kind == "" || kinds[adapter.Kind], at("adapters", i, "kind"), quote(adapter.Kind), "a declared kind, or none")
	}
}

func (f *Fleet) checkServices(c *Checker, pools map[vrid.PoolID]*Pool, kinds map[vrid.KindID]bool) {
	names := make(map[vrid.ServiceID]bool)
	for i, service := range f.Services {
		c.Require(service.ID != "" && !names[service.ID], at("services", i, "id"), quote(service.ID), "a name that stands once")
		names[service.ID] = true
		pool := pools[service.Pool]
		c.Require(pool != nil && pool.Kind == KindApplicationServer, at("services", i, "pool"), quote(service.Pool), "a declared pool of application servers")
		c.Require(service.OutcomePath == "" || strings.HasPrefix(service.OutcomePath, "/"), at("services", i, "outcomePath"), quote(service.OutcomePath), `a path that starts with "/", or none`)
		c.Require(len(service.Calls) > 0, at("services", i, "calls"), "none", "at least one call")
		for j, call := range service.Calls {
			where := at("services", i, "calls")
			c.Require(call.Method != "", at(where, j, "method"), `""`, `an HTTP method or "*"`)
			c.Require(strings.HasPrefix(call.Path, "/"), at(where, j, "path"), quote(call.Path), `a path that starts with "/"`)
			c.Require(kinds[call.Kind], at(where, j, "kind"), quote(call.Kind), "a declared kind")
		}
	}
}

func (f *Fleet) checkLimits(c *Checker) {
	c.Require(f.WeightStore.Slots > 0, "weightStore.slots", f.WeightStore.Slots, "1 or more")
	c.Require(f.WeightStore.AdapterSlots > 0, "weightStore.adapterSlots", f.WeightStore.AdapterSlots, "1 or more")
	c.Require(f.CrossRegion.BytesPerHour >= 0, "crossRegion.bytesPerHour", f.CrossRegion.BytesPerHour, "0 or more")
	c.Require(f.CrossRegion.UrgentOverdraft >= 0, "crossRegion.urgentOverdraft", f.CrossRegion.UrgentOverdraft, "0 or more")
	c.Require(f.Claims.Shards > 0, "claims.shards", f.Claims.Shards, "1 or more")
	c.Require(f.Claims.Retention > 0, "claims.retention", f.Claims.Retention, "more than 0s")
	c.Require(f.Record.Retention > 0, "record.retention", f.Record.Retention, "more than 0s")
	callers := make(map[vrid.CallerID]bool)
	for i, caller := range f.Callers {
		c.Require(caller.ID != "" && !callers[caller.ID], at("callers", i, "id"), quote(caller.ID), "a name that stands once")
		callers[caller.ID] = true
		c.Require(IsHexSHA256(caller.TokenHash), at("callers", i, "tokenHash"), "a malformed hash", "64 hex digits")
	}
}

// IsHexSHA256 reports whether a text is a SHA-256 hash in hexadecimal digits.
func IsHexSHA256(hash string) bool {
	const hexDigits = 64
	return len(hash) == hexDigits && strings.Trim(strings.ToLower(hash), "0123456789abcdef") == ""
}

func at(list string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}

func quote[T ~string](value T) string { return fmt.Sprintf("%q", string(value)) }
