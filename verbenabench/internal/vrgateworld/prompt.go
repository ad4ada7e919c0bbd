package vrgateworld

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// DeadlyPart is the part of prompts that crashes each engine which begins to answer it.
const DeadlyPart vrid.PromptPartID = "deadly"

const (
	// firstParts and secondParts are the numbers of sound parts that prompts share.
	firstParts  = 3
	secondParts = 12
	// crashRestart is how long an engine is away after a crash by a prompt.
	crashRestart = 3 * time.Second
)

// promptParts draws the shared parts of a prompt: two sound ones, or a sound and the deadly one.
func (w *World) promptParts() []vrid.PromptPartID {
	parts := []vrid.PromptPartID{vrid.PromptPartID(fmt.Sprintf("f%d", w.promptRng.IntN(firstParts)))}
	elapsed := w.Now().Sub(w.startedAt)
	deadly := w.promptRng.Float64() < w.Options.PoisonShare
	if deadly && elapsed >= w.Options.PoisonFrom && elapsed < w.Options.PoisonUntil {
		return append(parts, DeadlyPart)
	}
	return append(parts, vrid.PromptPartID(fmt.Sprintf("s%d", w.promptRng.IntN(secondParts))))
}

// Deadly reports whether the call's prompt crashes servers.
func (c *Call) Deadly() bool { return slices.Contains(c.PromptParts, DeadlyPart) }

// crashByPrompt crashes a server that begins to answer a prompt with DeadlyPart.
func (s *Server) crashByPrompt() {
	s.world.Crashes = append(s.world.Crashes, s.world.Now())
	s.Restart(crashRestart)
}
