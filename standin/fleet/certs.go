package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// authority is the certificate authority of a fleet.
type authority struct {
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	file       string
	lastSerial int64
	ip         net.IP
}

// CertLifetime is the validity period of a fleet's certificates.
const CertLifetime = 24 * time.Hour

func newAuthority(dir, ip string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet authority"},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(CertLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &authority{cert: cert, key: key, file: filepath.Join(dir, "ca.pem"), lastSerial: 1, ip: net.ParseIP(ip)}
	return a, writePEM(a.file, "CERTIFICATE", der)
}

// issue writes a certificate for the fleet's IP address, valid for servers and
// clients, and its key, and returns the file names.
func (a *authority) issue(dir, name string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	a.lastSerial++
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(CertLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{a.ip},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(keyFile, "PRIVATE KEY", raw)
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
