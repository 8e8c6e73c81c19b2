// SPDX-License-Identifier: Apache-2.0

// Package telemetry sets up logs and traces.
//
// # Usage
//
//	log, err := telemetry.NewLogger("info", os.Stderr)
//	stop, err := telemetry.StartTracing(os.Stderr) // nil writer: propagation only
package telemetry

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Kind classifies the errors of this package.
type Kind string

// KindSetup is a failure to set up logging or tracing.
const KindSetup Kind = "setup"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("telemetry: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(level string, w io.Writer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &Error{"new logger", KindSetup, err}
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}

// StartTracing sets up the propagation of W3C trace context and, unless w is nil, writes
// finished spans to w as JSON lines. The function that it returns writes the spans that
// are still buffered and stops tracing.
func StartTracing(w io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if w == nil {
		return func(context.Context) error { return nil }, nil
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, &Error{"start tracing", KindSetup, err}
	}
	tp := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exp))
	otel.SetTracerProvider(tp)
	return tp.Shutdown, nil
}
