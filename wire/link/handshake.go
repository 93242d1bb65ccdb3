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

// The handshake is three messages of fixed length, before anything else on a
// connection. docs/design/wire.md has the ways weighed.
//
//	server  status, server nonce
//	client  client nonce, proof of the client
//	server  status, proof of the server
//
// A proof is an HMAC with SHA-256 under the fleet's key over the prover's role and
// both nonces. The key itself never crosses the network, and a proof is worth
// nothing on another connection.
const (
	nonceBytes     = 16
	proofBytes     = sha256.Size
	challengeBytes = 1 + nonceBytes
	answerBytes    = nonceBytes + proofBytes
	verdictBytes   = 1 + proofBytes
)

// stepHandshake names the handshake in errors.
const stepHandshake = "link.handshake"

// handshakeTimeout bounds a handshake at both ends. It is longer than the feed's
// limit of silence, so that a frozen peer is still noticed as silent.
const handshakeTimeout = 2 * time.Second

// role tells the two ends' proofs apart, so that neither can be sent back.
type role string

// The roles, with the version of the handshake.
const (
	roleClient role = "acaciawinch link 1 client"
	roleServer role = "acaciawinch link 1 server"
)

// status is the first byte of each of the server's messages.
type status byte

// What a server says.
const (
	statusGood     status = 1
	statusBusy     status = 2
	statusWrongKey status = 3
)

// nonce is a number that is used once.
type nonce [nonceBytes]byte

// newNonce returns a random nonce.
func newNonce() nonce {
	var n nonce
	_, _ = rand.Read(n[:]) // It never fails: the program would be ended.
	return n
}

// prove returns the proof that a role holds the key.
func prove(key string, by role, server, client nonce) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(by))
	mac.Write(server[:])
	mac.Write(client[:])
	return mac.Sum(nil)
}

// challenge is the server's part of the handshake. An error is Refused, or
// Unavailable if the connection broke; the client has been told.
func challenge(conn net.Conn, key string) error {
	peer := conn.RemoteAddr().String()
	own := newNonce()
	if _, err := conn.Write(append([]byte{byte(statusGood)}, own[:]...)); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, peer, err)
	}
	var answer [answerBytes]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, peer, err)
	}
	other := nonce(answer[:nonceBytes])
	proved := hmac.Equal(answer[nonceBytes:], prove(key, roleClient, own, other))
	if !proved || key == "" {
		_, _ = conn.Write(refusal(statusWrongKey, verdictBytes)) // the refusal is returned; the peer may have gone
		return fault.New(fault.Refused, stepHandshake, peer, "the peer does not hold this fleet's key")
	}
	verdict := append([]byte{byte(statusGood)}, prove(key, roleServer, own, other)...)
	_, err := conn.Write(verdict)
	return fault.Wrap(fault.Unavailable, stepHandshake, peer, err)
}

// refusal returns a message of a length that carries nothing but a status.
func refusal(s status, length int) []byte {
	message := make([]byte, length)
	message[0] = byte(s)
	return message
}

// answer is the client's part of the handshake. An error is Refused by either end,
// or Unavailable if the connection broke.
func answer(conn net.Conn, key string) error {
	addr := conn.RemoteAddr().String()
	var hello [challengeBytes]byte
	if err := receive(conn, hello[:], addr); err != nil {
		return err
	}
	other, own := nonce(hello[1:]), newNonce()
	if _, err := conn.Write(append(own[:], prove(key, roleClient, other, own)...)); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, addr, err)
	}
	var verdict [verdictBytes]byte
	if err := receive(conn, verdict[:], addr); err != nil {
		return err
	}
	if !hmac.Equal(verdict[1:], prove(key, roleServer, other, own)) {
		return fault.New(fault.Refused, stepHandshake, addr, "the server does not hold this fleet's key")
	}
	return nil
}

// receive reads one of the server's messages whole. It returns nil if the server
// goes on with the handshake.
func receive(conn net.Conn, message []byte, addr string) error {
	if _, err := io.ReadFull(conn, message); err != nil {
		return fault.Wrap(fault.Unavailable, stepHandshake, addr, err)
	}
	switch status(message[0]) {
	case statusGood:
		return nil
	case statusBusy:
		return fault.New(fault.Refused, stepHandshake, addr, "the server has too many connections in the handshake")
	case statusWrongKey:
		return fault.New(fault.Refused, stepHandshake, addr, "the server refuses this process's key")
	}
	return fault.New(fault.Refused, stepHandshake, addr, "the server speaks another protocol")
}

// bounded runs a part of the handshake until limit has passed or ctx ends, which
// breaks the connection.
func bounded(ctx context.Context, conn net.Conn, limit time.Duration, part func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // a closed connection needs none
	err := part()
	if !stop() {
		return fault.Wrap(fault.Unavailable, stepHandshake, conn.RemoteAddr().String(), context.Cause(ctx))
	}
	return err
}
