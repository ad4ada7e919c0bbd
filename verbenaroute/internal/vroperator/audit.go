package vroperator

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// blocks handles GET /v1/record/blocks. With the parameters zone and day it returns the
// keys of the blocks of that day; with prefix it returns the blocks of one writer and hour
// as they are stored on the platform.
func (a *API) blocks(ctx context.Context, request authenticatedRequest) (*vrquery.BlocksResponse, error) {
	if prefix := request.params["prefix"]; prefix != "" {
		return a.listBlocks(ctx, prefix, true)
	}
	day, err := time.Parse(time.DateOnly, request.params["day"])
	if err != nil || request.params["zone"] == "" {
		return nil, usageError("prefix is required, or zone and day such as 2026-01-31")
	}
	return a.listBlocks(ctx, vrrecord.DayPrefix(vrid.ZoneID(request.params["zone"]), day), false)
}

// listBlocks lists the blocks under a key prefix. With values, the answer includes the
// blocks' contents, and the prefix must be that of one writer and hour.
func (a *API) listBlocks(ctx context.Context, prefix string, values bool) (*vrquery.BlocksResponse, error) {
	// The check of the prefix keeps this call from exposing other objects than the record's,
	// and bounds the size of the answer.
	if _, err := vrrecord.ParseKey(prefix + "0"); values && err != nil {
		return nil, usageError("prefix is not the prefix of one writer and hour: " + err.Error())
	}
	items, outcome := a.objects.List(ctx, prefix, values)
	if outcome != vrplatform.OutcomeOK {
		return nil, unavailableError(fmt.Sprintf("listing %s on the platform: %s", prefix, outcome))
	}
	response := &vrquery.BlocksResponse{Blocks: make([]vrquery.RawBlock, len(items))}
	for i, item := range items {
		response.Blocks[i] = vrquery.RawBlock{Key: item.Key, Data: item.Value}
	}
	return response, nil
}

// claimsPageBytes is the size in bytes at which a page of claims ends. It counts the stored
// segments, with the response bodies.
const claimsPageBytes = 8 << 20

// claims handles GET /v1/record/claims?shard=N&after=KEY. It returns one page of the claims
// of a shard, without the stored response bodies. The page starts after the segment KEY.
func (a *API) claims(ctx context.Context, request authenticatedRequest) (*vrquery.ClaimsResponse, error) {
	fleet, err := a.configuration(ctx, request)
	if err != nil {
		return nil, err
	}
	shard, err := strconv.ParseUint(request.params["shard"], 10, 31)
	if err != nil || shard >= uint64(fleet.Claims.Shards) {
		return nil, usageError(fmt.Sprintf("shard must be a number from 0 to %d", fleet.Claims.Shards-1))
	}
	items, outcome := a.objects.List(ctx, vrplatform.ClaimPrefix(uint32(shard)), false)
	if outcome != vrplatform.OutcomeOK {
		return nil, unavailableError(fmt.Sprintf("listing the claims of shard %d on the platform: %s", shard, outcome))
	}
	response := &vrquery.ClaimsResponse{}
	size := 0
	for _, item := range items {
		if item.Key <= request.params["after"] {
			continue
		}
		value, outcome := a.objects.Read(ctx, item.Key)
		if outcome != vrplatform.OutcomeOK {
			return nil, unavailableError(fmt.Sprintf("reading %s from the platform: %s", item.Key, outcome))
		}
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](value)
		if err != nil {
			return nil, fmt.Errorf("decode claims %s: %w", item.Key, err)
		}
		response.Claims = append(response.Claims, clearBodies(segment)...)
		if size += len(value); size >= claimsPageBytes {
			response.Next = item.Key
			break
		}
	}
	return response, nil
}

// clearBodies removes the stored responses from the entries of a segment.
func clearBodies(segment *vrwire.ClaimSegment) []vrwire.ClaimEntry {
	for i := range segment.Entries {
		segment.Entries[i].Body = nil
	}
	return segment.Entries
}
