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

// Do implements readline.AutoCompleter: it returns what is missing of each word.
func (completer) Do(line []rune, position int) (rest [][]rune, length int) {
	before := string(line[:position])
	part := before[strings.LastIndexAny(before, " \t(,=")+1:]
	for _, word := range vrquery.Complete(before) {
		rest = append(rest, []rune(strings.TrimPrefix(word, part)+" "))
	}
	return rest, len([]rune(part))
}

// historyFile is empty when there is no place for one.
func historyFile() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		return ""
	}
	folder := filepath.Join(cache, "verbenactl")
	const private = 0o700
	if os.MkdirAll(folder, private) != nil {
		return ""
	}
	return filepath.Join(folder, "history")
}

// prompt reads statements until the end of the input. Errors don't end it.
func (t *terminal) prompt(ctx context.Context) error {
	if err := t.needDaemon(); err != nil {
		return err
	}
	lines, err := readline.NewEx(&readline.Config{
		Prompt:       "verbena> ",
		HistoryFile:  historyFile(),
		AutoComplete: completer{},
		Stdout:       t.streams.Out,
		Stderr:       t.streams.Err,
	})
	if err != nil {
		return err
	}
	defer func() { _ = lines.Close() }()
	fmt.Fprintln(t.streams.Out, "Tab completes, the arrow keys go through the history, Ctrl-D ends.")
	for {
		line, err := lines.Readline()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, readline.ErrInterrupt):
			continue
		case err != nil:
			return err
		}
		if text := strings.TrimSpace(line); text != "" {
			t.answer(ctx, text)
		}
	}
}

func (t *terminal) answer(ctx context.Context, text string) {
	ctx, cancel := context.WithTimeout(ctx, promptTimeout)
	defer cancel()
	if err := t.statement(ctx, text); err != nil {
		fmt.Fprintln(t.streams.Err, err)
	}
}
