package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"acaciawinch/core/fault"
)

// The handshake consists of three messages of fixed length at the beginning of each
// connection. docs/design/wire.md compares the alternatives.
//
//	server  challenge: status, server nonce
//	client  response:  client nonce, proof of the client
//	server  verdict:   status, proof of the server
//
// A proof is an HMAC with SHA-256 under the fleet's key over the prover's role and
// both nonces. The key itself is never sent, and a proof is not valid on another
// connection.
const (
	nonceBytes     = 16
	proofBytes     = sha256.Size
	challengeBytes = 1 + nonceBytes
	responseBytes  = nonceBytes + proofBytes
	verdictBytes   = 1 + proofBytes
)

// stepHandshake names the handshake in errors.
const stepHandshake = "link.handshake"

// handshakeTimeout bounds a handshake at both ends. It is longer than the feed's
// silence timeout, so that a frozen peer is still detected as silent.
const handshakeTimeout = 2 * time.Second

// role is part of each proof and differs for the two ends, so that a proof cannot be
// returned to its sender.
type role string

// The roles, with the version of the handshake.
const (
	roleClient role = "acaciawinch link 1 client"
	roleServer role = "acaciawinch link 1 server"
)

// status is the first byte of each of the server's messages.
type status byte

// The statuses of a server.
const (
	statusOK       status = 1
	statusBusy     status = 2
	statusWrongKey status = 3
)

// nonce is a random value that is used for one handshake.
type nonce [nonceBytes]byte

// newNonce returns a nonce from the system's secure random source.
func newNonce() nonce {
	var n nonce
	_, _ = rand.Read(n[:]) // rand.Read never returns an error; it ends the program instead
	return n
}

// proof returns the proof that the end with the role has the key.
func proof(key string, by role, server, client nonce) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(by))
	mac.Write(server[:])
	mac.Write(client[:])
	return mac.Sum(nil)
}

// serverHandshake performs the server's part of the handshake. An error is Refused if the
// client's proof fails, after the client has received the refusal, or Unavailable if the
// connection broke.
func serverHandshake(conn net.Conn, key string) error {
	peer := conn.RemoteAddr().String()
	own := newNonce()
	if _, err := conn.Write(append([]byte{byte(statusOK)}, own[:]...)); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, peer, err)
	}
	var response [responseBytes]byte
	if _, err := io.ReadFull(conn, response[:]); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, peer, err)
	}
	other := nonce(response[:nonceBytes])
	valid := hmac.Equal(response[nonceBytes:], proof(key, roleClient, own, other))
	if !valid || key == "" {
		_, _ = conn.Write(statusMessage(statusWrongKey, verdictBytes)) // the error is returned; the peer may have disconnected
		return fault.New(fault.Refused, stepHandshake, peer, "the peer does not hold this fleet's key")
	}
	verdict := append([]byte{byte(statusOK)}, proof(key, roleServer, own, other)...)
	_, err := conn.Write(verdict)
	return fault.Wrap(fault.Unavailable, stepHandshake, peer, err)
}

// statusMessage returns a message of the given length that carries nothing but a status.
func statusMessage(s status, length int) []byte {
	message := make([]byte, length)
	message[0] = byte(s)
	return message
}

// clientHandshake performs the client's part of the handshake. An error is Refused if either end
// refuses, or Unavailable if the connection broke.
func clientHandshake(conn net.Conn, key string) error {
	addr := conn.RemoteAddr().String()
	var challenge [challengeBytes]byte
	if err := readMessage(conn, challenge[:], addr); err != nil {
		return err
	}
	other, own := nonce(challenge[1:]), newNonce()
	if _, err := conn.Write(append(own[:], proof(key, roleClient, other, own)...)); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, addr, err)
	}
	var verdict [verdictBytes]byte
	if err := readMessage(conn, verdict[:], addr); err != nil {
		return err
	}
	if !hmac.Equal(verdict[1:], proof(key, roleServer, other, own)) {
		return fault.New(fault.Refused, stepHandshake, addr, "the server does not hold this fleet's key")
	}
	return nil
}

// readMessage reads one message of the server. It returns nil if the server continues the
// handshake.
func readMessage(conn net.Conn, message []byte, addr string) error {
	if _, err := io.ReadFull(conn, message); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, addr, err)
	}
	switch status(message[0]) {
	case statusOK:
		return nil
	case statusBusy:
		return fault.New(fault.Refused, stepHandshake, addr, "the server has too many connections in the handshake")
	case statusWrongKey:
		return fault.New(fault.Refused, stepHandshake, addr, "the server refuses this process's key")
	}
	return fault.New(fault.Refused, stepHandshake, addr, "the server speaks another protocol")
}

// withTimeout runs a part of the handshake. If limit passes or ctx ends before, the
// connection's deadline is set to the past, so that its reads and writes fail.
func withTimeout(ctx context.Context, conn net.Conn, limit time.Duration, part func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // a closed connection needs no deadline
	err := part()
	if !stop() {
		return fault.Wrap(fault.Unavailable, stepHandshake, conn.RemoteAddr().String(), context.Cause(ctx))
	}
	return err
}
