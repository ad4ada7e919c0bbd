package vrterminal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/chzyer/readline"

	"verbenaroute.example/verbenacore/vrquery"
)

// completer completes the word before the cursor.
type completer struct{}

// Do implements readline.AutoCompleter. It returns the remaining characters of each candidate
// and the length of the prefix that has been typed.
func (completer) Do(line []rune, position int) (suffixes [][]rune, length int) {
	text := string(line[:position])
	prefix := text[strings.LastIndexAny(text, " \t(,=")+1:]
	for _, word := range vrquery.Complete(text) {
		suffixes = append(suffixes, []rune(strings.TrimPrefix(word, prefix)+" "))
	}
	return suffixes, len([]rune(prefix))
}

// historyFile returns the path of the history file, or "" if its directory can't be created.
func historyFile() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		return ""
	}
	dir := filepath.Join(cache, "verbenactl")
	const dirMode = 0o700
	if os.MkdirAll(dir, dirMode) != nil {
		return ""
	}
	return filepath.Join(dir, "history")
}

// runPrompt reads and runs statements until the end of the input. A statement that fails
// doesn't end it.
func (t *terminal) runPrompt(ctx context.Context) error {
	if err := t.requireDaemon(); err != nil {
		return err
	}
	reader, err := readline.NewEx(&readline.Config{
		Prompt:       "verbena> ",
		HistoryFile:  historyFile(),
		AutoComplete: completer{},
		Stdout:       t.streams.Out,
		Stderr:       t.streams.Err,
	})
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	fmt.Fprintln(t.streams.Out, "Tab completes, the arrow keys go through the history, Ctrl-D ends.")
	for {
		line, err := reader.Readline()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, readline.ErrInterrupt):
			continue
		case err != nil:
			return err
		}
		if text := strings.TrimSpace(line); text != "" {
			t.runPromptStatement(ctx, text)
		}
	}
}

// runPromptStatement runs one statement with a timeout and prints its error.
func (t *terminal) runPromptStatement(ctx context.Context, text string) {
	ctx, cancel := context.WithTimeout(ctx, promptTimeout)
	defer cancel()
	if err := t.runStatement(ctx, text); err != nil {
		fmt.Fprintln(t.streams.Err, err)
	}
}
