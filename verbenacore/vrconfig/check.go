package vrconfig

import (
	"errors"
	"fmt"
	"strings"

	"verbenaroute.example/verbenacore/vrid"
)

// FieldError is an invalid field of a configuration or settings document.
type FieldError struct {
	// Field is the path of the field, for example "models[2].base".
	Field string
	// Found describes the value in the document.
	Found string
	// Allowed describes the values that the field may have.
	Allowed string
	// Line and Column are the position in the file, or 0 when it is not known.
	Line, Column int
}

func (e *FieldError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%d:%d: %s: found %s, allowed: %s", e.Line, e.Column, e.Field, e.Found, e.Allowed)
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", e.Field, e.Found, e.Allowed)
}

// ValidationError lists every invalid field of a document.
type ValidationError struct {
	Fields []*FieldError
}

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find each FieldError.
func (e *ValidationError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, field := range e.Fields {
		errs[i] = field
	}
	return errs
}

// Checker collects the invalid fields of one document.
type Checker struct {
	fields []*FieldError
}

// Require records the field as invalid unless ok.
func (c *Checker) Require(ok bool, field string, found any, allowed string) {
	if ok {
		return
	}
	c.fields = append(c.fields, &FieldError{Field: field, Found: fmt.Sprintf("%v", found), Allowed: allowed})
}

// Add records an invalid field, which may have a position.
func (c *Checker) Add(field *FieldError) { c.fields = append(c.fields, field) }

// Merge adds the invalid fields of err if it is or wraps a *ValidationError, and ignores
// any other error.
func (c *Checker) Merge(err error) {
	var validation *ValidationError
	if errors.As(err, &validation) {
		c.fields = append(c.fields, validation.Fields...)
	}
}

// Err returns all invalid fields as a *ValidationError, or nil if there are
// none.
func (c *Checker) Err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.fields}
}

// Validate checks the whole configuration and reports every invalid field at once.
func (f *Fleet) Validate() error {
	c := &Checker{}
	zones := f.checkVersionAndRegions(c)
	pools := f.checkPools(c)
	kinds := f.checkRanksAndKinds(c)
	f.checkModelsAndAdapters(c, zones, pools, kinds)
	f.checkServices(c, pools, kinds)
	f.checkLimitsAndCallers(c)
	return c.Err()
}

func (f *Fleet) checkVersionAndRegions(c *Checker) map[vrid.ZoneID]bool {
	zones := make(map[vrid.ZoneID]bool)
	c.Require(f.Version >= 1, "version", f.Version, "1 or more")
	c.Require(len(f.Regions) > 0, "regions", "none", "at least one region")
	for i, region := range f.Regions {
		c.Require(region.ID != "", fieldPath("regions", i, "id"), `""`, "a name")
		c.Require(len(region.Zones) > 0, fieldPath("regions", i, "zones"), "none", "at least one zone")
		for _, zone := range region.Zones {
			c.Require(!zones[zone], fieldPath("regions", i, "zones"), zone, "each zone once")
			zones[zone] = true
		}
	}
	return zones
}

func (f *Fleet) checkPools(c *Checker) map[vrid.PoolID]*Pool {
	pools := make(map[vrid.PoolID]*Pool)
	for i := range f.Pools {
		pool := &f.Pools[i]
		c.Require(pool.ID != "" && pools[pool.ID] == nil, fieldPath("pools", i, "id"), quote(pool.ID), "a unique name")
		pools[pool.ID] = pool
		c.Require(pool.Slots > 0, fieldPath("pools", i, "slots"), pool.Slots, "1 or more")
		switch pool.Kind {
		case KindLanguageServer:
			c.Require(pool.Memory > 0, fieldPath("pools", i, "memory"), pool.Memory, "more than 0 bytes")
		case KindApplicationServer:
		default:
			c.Require(false, fieldPath("pools", i, "kind"), quote(pool.Kind), "languageServer or applicationServer")
		}
	}
	return pools
}

func (f *Fleet) checkRanksAndKinds(c *Checker) map[vrid.KindID]bool {
	seen := make(map[vrid.Rank]bool)
	floorSum := 0.0
	for i, policy := range f.Ranks {
		c.Require(!seen[policy.Rank], fieldPath("ranks", i, "rank"), policy.Rank, "each rank once")
		seen[policy.Rank] = true
		c.Require(policy.Target > 0, fieldPath("ranks", i, "target"), policy.Target, "more than 0s")
		c.Require(policy.Deadline >= policy.Target, fieldPath("ranks", i, "deadline"), policy.Deadline, "at least the target")
		c.Require(policy.Weight > 0, fieldPath("ranks", i, "worth"), policy.Weight, "more than 0")
		c.Require(policy.Floor >= 0 && policy.Floor <= 1, fieldPath("ranks", i, "floor"), policy.Floor, "0 to 1")
		c.Require(policy.Objective > 0 && policy.Objective < 1, fieldPath("ranks", i, "objective"), policy.Objective, "more than 0, less than 1")
		c.Require(policy.CallerShare > 0 && policy.CallerShare <= 1, fieldPath("ranks", i, "callerShare"), policy.CallerShare, "more than 0, at most 1")
		floorSum += policy.Floor
	}
	c.Require(len(seen) == vrid.RankCount, "ranks", len(seen), "all three ranks")
	c.Require(floorSum <= 1, "ranks[].floor", fmt.Sprintf("a sum of %g", floorSum), "a sum of at most 1")
	kinds := make(map[vrid.KindID]bool)
	for i, kind := range f.Kinds {
		c.Require(kind.ID != "" && !kinds[kind.ID], fieldPath("kinds", i, "id"), quote(kind.ID), "a unique name")
		kinds[kind.ID] = true
		c.Require(kind.Deadline >= 0, fieldPath("kinds", i, "deadline"), kind.Deadline, "0s or more")
	}
	return kinds
}

func (f *Fleet) checkModelsAndAdapters(c *Checker, zones map[vrid.ZoneID]bool, pools map[vrid.PoolID]*Pool, kinds map[vrid.KindID]bool) {
	names := make(map[string]bool)
	bases := make(map[vrid.ModelID]*Model)
	for i := range f.Models {
		model := &f.Models[i]
		c.Require(model.ID != "" && !names[string(model.ID)], fieldPath("models", i, "id"), quote(model.ID), "a unique name")
		names[string(model.ID)] = true
		bases[model.ID] = model
		c.Require(model.Memory > 0, fieldPath("models", i, "memory"), model.Memory, "more than 0 bytes")
		c.Require(model.LoadTime >= 0, fieldPath("models", i, "loadTime"), model.LoadTime, "0s or more")
		c.Require(model.ReplicasPerZone >= 0, fieldPath("models", i, "replicasPerZone"), model.ReplicasPerZone, "0 or more")
		c.Require(kinds[model.Kind], fieldPath("models", i, "kind"), quote(model.Kind), "a declared kind")
		pool := pools[model.Pool]
		if c.Require(pool != nil, fieldPath("models", i, "pool"), quote(model.Pool), "a declared pool"); pool != nil {
			c.Require(pool.Kind == KindLanguageServer, fieldPath("models", i, "pool"), quote(model.Pool), "a pool of language servers")
			c.Require(model.Memory <= pool.Memory, fieldPath("models", i, "memory"), model.Memory, fmt.Sprintf("at most the pool's %d bytes", pool.Memory))
		}
		for _, zone := range model.Zones {
			c.Require(zones[zone], fieldPath("models", i, "zones"), quote(zone), "declared zones")
		}
	}
	for i, adapter := range f.Adapters {
		c.Require(adapter.ID != "" && !names[string(adapter.ID)], fieldPath("adapters", i, "id"), quote(adapter.ID), "a name that no other model or adapter has")
		names[string(adapter.ID)] = true
		base := bases[adapter.Base]
		c.Require(base != nil, fieldPath("adapters", i, "base"), quote(adapter.Base), "a declared model")
		c.Require(adapter.Memory > 0, fieldPath("adapters", i, "memory"), adapter.Memory, "more than 0 bytes")
		if base != nil && pools[base.Pool] != nil {
			available := pools[base.Pool].Memory - base.Memory
			c.Require(adapter.Memory <= available, fieldPath("adapters", i, "memory"), adapter.Memory, fmt.Sprintf("at most the %d bytes beside its base", available))
		}
		c.Require(adapter.Kind == "" || kinds[adapter.Kind], fieldPath("adapters", i, "kind"), quote(adapter.Kind), "a declared kind, or none")
	}
}

func (f *Fleet) checkServices(c *Checker, pools map[vrid.PoolID]*Pool, kinds map[vrid.KindID]bool) {
	names := make(map[vrid.ServiceID]bool)
	for i, service := range f.Services {
		c.Require(service.ID != "" && !names[service.ID], fieldPath("services", i, "id"), quote(service.ID), "a unique name")
		names[service.ID] = true
		pool := pools[service.Pool]
		c.Require(pool != nil && pool.Kind == KindApplicationServer, fieldPath("services", i, "pool"), quote(service.Pool), "a declared pool of application servers")
		c.Require(service.OutcomePath == "" || strings.HasPrefix(service.OutcomePath, "/"), fieldPath("services", i, "outcomePath"), quote(service.OutcomePath), `a path that starts with "/", or none`)
		c.Require(len(service.Calls) > 0, fieldPath("services", i, "calls"), "none", "at least one call")
		for j, call := range service.Calls {
			callsPath := fieldPath("services", i, "calls")
			c.Require(call.Method != "", fieldPath(callsPath, j, "method"), `""`, `an HTTP method or "*"`)
			c.Require(strings.HasPrefix(call.Path, "/"), fieldPath(callsPath, j, "path"), quote(call.Path), `a path that starts with "/"`)
			c.Require(kinds[call.Kind], fieldPath(callsPath, j, "kind"), quote(call.Kind), "a declared kind")
		}
	}
}

func (f *Fleet) checkLimitsAndCallers(c *Checker) {
	c.Require(f.WeightStore.Slots > 0, "weightStore.slots", f.WeightStore.Slots, "1 or more")
	c.Require(f.WeightStore.AdapterSlots > 0, "weightStore.adapterSlots", f.WeightStore.AdapterSlots, "1 or more")
	c.Require(f.CrossRegion.BytesPerHour >= 0, "crossRegion.bytesPerHour", f.CrossRegion.BytesPerHour, "0 or more")
	c.Require(f.CrossRegion.UrgentOverdraft >= 0, "crossRegion.urgentOverdraft", f.CrossRegion.UrgentOverdraft, "0 or more")
	c.Require(f.Claims.Shards > 0, "claims.shards", f.Claims.Shards, "1 or more")
	c.Require(f.Claims.Retention > 0, "claims.retention", f.Claims.Retention, "more than 0s")
	c.Require(f.Record.Retention > 0, "record.retention", f.Record.Retention, "more than 0s")
	callers := make(map[vrid.CallerID]bool)
	for i, caller := range f.Callers {
		c.Require(caller.ID != "" && !callers[caller.ID], fieldPath("callers", i, "id"), quote(caller.ID), "a unique name")
		callers[caller.ID] = true
		c.Require(IsHexSHA256(caller.TokenHash), fieldPath("callers", i, "tokenHash"), "a malformed hash", "64 hex digits")
	}
}

// IsHexSHA256 reports whether a string is a SHA-256 hash in hexadecimal digits.
func IsHexSHA256(hash string) bool {
	const hexDigits = 64
	return len(hash) == hexDigits && strings.Trim(strings.ToLower(hash), "0123456789abcdef") == ""
}

// fieldPath returns the path of a field of a list element, for example "models[2].base" for
// the list "models".
func fieldPath(list string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}

func quote[T ~string](value T) string { return fmt.Sprintf("%q", string(value)) }
