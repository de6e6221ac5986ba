package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
)

// authority holds the TLS flag of the commands that call an entry.
type authority struct {
	CA string `name:"ca" help:"File with the certificates (PEM) that entries' certificates are checked against; when set, calls use TLS."`
}

// client returns the HTTP client and the URL scheme to use with it.
func (a authority) client() (*http.Client, string, error) {
	if a.CA == "" {
		return http.DefaultClient, "http", nil
	}
	data, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, "", exitErrorf(exitUsage, "--ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, "", exitErrorf(exitUsage, "--ca: %q holds no certificate", a.CA)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}, "https", nil
}
