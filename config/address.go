package config

import (
	"cmp"
	"net"
	"path/filepath"
	"strconv"
)

const (
	defaultName      = "milletvane"
	firstInheritedFD = 3  // 0 to 2 are the standard streams
	maxFileNamePart  = 64 // bytes of the gateway's name, and of its listen address, in the state directory's name
)

// readAddresses reads the gateway's name, the addresses that it listens on and the address of the discovery service. Only the
// admin address may be missing. An error is a *KeyError.
func (c *Config) readAddresses(f *configFile, getenv func(string) string) error {
	c.Name = cmp.Or(getenv(EnvName), f.Name, defaultName)
	c.ListenAddr = cmp.Or(getenv(EnvListen), f.Listen)
	c.DiscoveryAddr = cmp.Or(f.Discovery, getenv(EnvDiscovery))
	c.AdminAddr = cmp.Or(getenv(EnvAdmin), f.Admin)
	if err := checkAddress("listen ("+EnvListen+")", c.ListenAddr); err != nil {
		return err
	}
	if err := checkAddress("discovery ("+EnvDiscovery+")", c.DiscoveryAddr); err != nil {
		return err
	}
	if c.AdminAddr == "" {
		return nil
	}
	return checkAddress("admin_addr ("+EnvAdmin+")", c.AdminAddr)
}

// checkAddress returns a *KeyError for the key unless address is host:port with a numeric port.
func checkAddress(key, address string) error {
	if address == "" {
		return keyError(key, "is missing")
	}
	_, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return keyError(key, "%q is not host:port", address)
	}
	return nil
}

// readEnvironment reads the values that only the environment can hold. It derives the state directory from c.Name and
// c.Listen, so readAddresses runs first.
func (c *Config) readEnvironment(getenv func(string) string) error {
	if value := getenv(EnvInheritedSocket); value != "" {
		fd, err := strconv.ParseUint(value, 10, 16)
		if err != nil || fd < firstInheritedFD {
			return keyError(EnvInheritedSocket, "%q is not the number of a descriptor from %d on", value, firstInheritedFD)
		}
		c.InheritedSocket = int(fd)
	}
	if dir := getenv(EnvTempDir); dir != "" {
		// Several gateways on one machine may share the temporary directory, so each has a subdirectory of its own.
		c.StateDir = filepath.Join(dir, "milletvane-"+fileNamePart(c.Name)+"-"+fileNamePart(c.ListenAddr))
	}
	return nil
}

// fileNamePart returns s as a part of a file name: each byte that is not an ASCII letter or digit becomes an underscore, and
// the result is cut to maxFileNamePart bytes.
func fileNamePart(s string) string {
	b := []byte(s)
	for i, char := range b {
		if !isAlphanumeric(char) {
			b[i] = '_'
		}
	}
	return string(b[:min(len(b), maxFileNamePart)])
}

// isAlphanumeric reports whether b is an ASCII letter or digit.
func isAlphanumeric(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}
