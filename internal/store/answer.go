package store

import "context"

// answerHook is the key of the function that WithAnswerHook adds to a context.
type answerHook struct{}

// WithAnswerHook returns a context whose calls of a store call began when the first byte of their answer
// has arrived, if the store sends answers over a network. The rest of a long answer may take seconds.
func WithAnswerHook(ctx context.Context, began func()) context.Context {
	return context.WithValue(ctx, answerHook{}, began)
}

// AnswerBegan calls the function that WithAnswerHook added, if any.
func AnswerBegan(ctx context.Context) {
	if began, ok := ctx.Value(answerHook{}).(func()); ok {
		began()
	}
}
