package vroperator

import (
	"context"
	"fmt"
	"strconv"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// blocks answers GET /v1/record/blocks with the objects as they lie on the platform:
// without parameters the zones, with zone the keys, with prefix the blocks of one
// writer and hour.
func (o *Operator) blocks(ctx context.Context, request call) (*vrquery.BlocksAnswer, error) {
	switch {
	case request.params["prefix"] != "":
		return o.listBlocks(ctx, request.params["prefix"], true)
	case request.params["zone"] != "":
		return o.listBlocks(ctx, vrrecord.ZonePrefix(vrid.ZoneID(request.params["zone"])), false)
	}
	fleet, err := o.configuration(ctx, request)
	if err != nil {
		return nil, err
	}
	return &vrquery.BlocksAnswer{Zones: fleet.Zones()}, nil
}

func (o *Operator) listBlocks(ctx context.Context, prefix string, values bool) (*vrquery.BlocksAnswer, error) {
	// Only the record may be read this way; a prefix of one writer bounds the answer.
	if _, err := vrrecord.ParseKey(prefix + "0"); values && err != nil {
		return nil, usage("prefix is not that of one writer and hour: " + err.Error())
	}
	items, outcome := o.options.Objects.List(ctx, prefix, values)
	if outcome != vrplatform.OutcomeOK {
		return nil, unavailable(fmt.Sprintf("the platform's list of %s is %s", prefix, outcome))
	}
	answer := &vrquery.BlocksAnswer{Blocks: make([]vrquery.RawBlock, len(items))}
	for i, item := range items {
		answer.Blocks[i] = vrquery.RawBlock{Key: item.Key, Data: item.Value}
	}
	return answer, nil
}

// claims answers GET /v1/record/claims?shard=N with the claims of a shard. The stored
// answers to customers are left out.
func (o *Operator) claims(ctx context.Context, request call) (*vrquery.ClaimsAnswer, error) {
	fleet, err := o.configuration(ctx, request)
	if err != nil {
		return nil, err
	}
	answer := &vrquery.ClaimsAnswer{Shards: fleet.Claims.Shards}
	shard, err := strconv.ParseUint(request.params["shard"], 10, 31)
	if err != nil || shard >= uint64(answer.Shards) {
		return nil, usage(fmt.Sprintf("shard is a number from 0 to %d", answer.Shards-1))
	}
	items, outcome := o.options.Objects.List(ctx, vrplatform.ClaimPrefix(uint32(shard)), true)
	if outcome != vrplatform.OutcomeOK {
		return nil, unavailable(fmt.Sprintf("the platform's list of the claims of shard %d is %s", shard, outcome))
	}
	for _, item := range items {
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](item.Value)
		if err != nil {
			return nil, fmt.Errorf("claims %s: %w", item.Key, err)
		}
		for _, entry := range segment.Entries {
			entry.Body = nil
			answer.Claims = append(answer.Claims, entry)
		}
	}
	return answer, nil
}
