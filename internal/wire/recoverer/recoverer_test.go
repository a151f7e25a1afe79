package recoverer

import (
	"errors"
	"testing"

	"storj.io/drpc"

	"verbenareach/internal/event/logger"
)

type handlerFunc func() error

func (f handlerFunc) HandleRPC(drpc.Stream, string) error { return f() }

func TestCallThatPanicsFailsAndIsCounted(t *testing.T) {
	failed := errors.New("failed")
	tests := []struct {
		name   string
		handle handlerFunc
		panics bool
		want   error
	}{
		{"answers", func() error { return nil }, false, nil},
		{"fails", func() error { return failed }, false, failed},
		{"panics", func() error { panic("nil map") }, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counted := 0
			h := &Handler{Handler: tt.handle, Log: &logger.Logger{Count: func(logger.Event) { counted++ }}}
			err := h.HandleRPC(nil, "call")
			panicked := new(PanicError)
			if errors.As(err, &panicked) != tt.panics || !tt.panics && !errors.Is(err, tt.want) || (counted == 1) != tt.panics {
				t.Errorf("got %v and %d events", err, counted)
			}
		})
	}
}
