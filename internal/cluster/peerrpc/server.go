package peerrpc

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"poppypass/internal/platform/tuning"
)

// Serve answers peers' requests on a listener until ctx ends. Handlers and connections may still run for a
// moment after it returns.
func Serve(ctx context.Context, listener net.Listener, handler Handler, log *slog.Logger) {
	context.AfterFunc(ctx, func() { listener.Close() })
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			log.Error("accepting a peer connection failed; retrying", "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(tuning.ElectionRetryPause):
			}
			continue
		}
		go serveConn(ctx, conn, handler, log)
	}
}

// serveConn answers the requests on a connection, each in a separate goroutine, until the connection is closed.
func serveConn(ctx context.Context, conn net.Conn, handler Handler, log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { conn.Close() })
	var writeMutex sync.Mutex
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(tuning.PeerIdleTimeout))
		frame, err := readFrame(in)
		if err != nil {
			return
		}
		seq, req, err := decodeRequest(frame)
		if err != nil {
			log.Error("peer request could not be decoded; closing the connection", "err", err)
			return
		}
		go func() {
			answer := encodeResponse(seq, handler(ctx, req))
			writeMutex.Lock()
			defer writeMutex.Unlock()
			writeAnswer(conn, answer)
		}()
	}
}

// writeAnswer writes an answer. It closes the connection if the write fails or takes longer than tuning.RelayTimeout.
func writeAnswer(conn net.Conn, answer []byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(tuning.RelayTimeout))
	if _, err := conn.Write(answer); err != nil {
		conn.Close()
	}
}
