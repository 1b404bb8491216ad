package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/admin"
	"topazmoor/internal/membership"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
)

// certFiles writes a self-signed certificate for 127.0.0.1, which is its own
// CA.
func certFiles(c *qt.C, dir string) *settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	c.Assert(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), qt.IsNil)
	return &settings.TLS{CertFile: cert, KeyFile: keyFile}
}

// TestEveryListenerSpeaksTLS starts two nodes over real TCP with TLS on all
// listeners; the peer listener requires client certificates.
func TestEveryListenerSpeaksTLS(t *testing.T) {
	// Pooled timers of earlier synctest bubbles must not be used outside them.
	emptyPools()
	c := qt.New(t)
	plain := certFiles(c, t.TempDir())
	mutual := *plain
	mutual.ClientCAFile = plain.CertFile
	store := store.NewMemory()
	sum := sha256.Sum256([]byte("op"))
	var nodes []*Node
	for _, name := range []string{"a", "b"} {
		l := settings.Listener{Addr: "127.0.0.1:0", TLS: plain}
		s := settings.Settings{
			Node:      settings.Node{Name: name, DataCentre: "dc"},
			Listen:    settings.Listen{Caller: l, Admin: l, Observe: l, Peer: settings.Listener{Addr: "127.0.0.1:0", TLS: &mutual}},
			Operators: []settings.Operator{{Name: "op", TokenSHA256: hex.EncodeToString(sum[:])}},
		}
		s.SetDefaults()
		n, err := Provision(s, Env{
			Dial:         (&net.Dialer{}).DialContext,
			Listen:       func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
			ListenPacket: func(addr string) (membership.PacketConn, error) { return net.ListenPacket("udp", addr) },
			Store:        store, PeerKey: []byte("key"), NewID: func() string { return name }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Serve(ctx) }()
		t.Cleanup(func() {
			cancel()
			<-done
		})
		nodes = append(nodes, n)
	}
	ca, err := os.ReadFile(plain.CertFile)
	c.Assert(err, qt.IsNil)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	for name, path := range map[string]string{callerServer: "/v1/x", observeServer: "/healthz"} {
		resp, err := client.Get("https://" + nodes[0].Addr(name) + path)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		resp, err = http.Get("http://" + nodes[0].Addr(name) + path)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
		resp.Body.Close()
	}
	op := admin.NewClient(nodes[0].Addr(adminServer), "op")
	c.Assert(op.UseTLS(ca), qt.IsNil)
	_, err = op.Status(t.Context())
	c.Assert(err, qt.IsNil)
	_, _, err = nodes[0].peers.client.Snapshot(t.Context(), nodes[1].Addr(peerServer))
	c.Assert(err, qt.IsNil)
	// Without a client certificate the refusal arrives with the first read.
	conn, err := tls.Dial("tcp", nodes[1].Addr(peerServer), &tls.Config{RootCAs: pool})
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}
