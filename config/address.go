package config

import (
	"cmp"
	"net"
	"path/filepath"
	"strconv"
)

const (
	defaultName      = "milletvane"
	firstInheritedFD = 3  // those below are the standard streams
	maxFileNamePart  = 64 // of each part of the state directory's name
)

// readAddresses reads the gateway's name and the addresses that it listens at and calls.
func (c *Config) readAddresses(f *file, getenv func(string) string) error {
	c.Name = cmp.Or(getenv(EnvName), f.Name, defaultName)
	c.Listen = cmp.Or(getenv(EnvListen), f.Listen)
	c.Discovery = cmp.Or(f.Discovery, getenv(EnvDiscovery))
	c.Admin = cmp.Or(getenv(EnvAdmin), f.Admin)
	if err := checkAddress("listen ("+EnvListen+")", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery ("+EnvDiscovery+")", c.Discovery); err != nil {
		return err
	}
	if c.Admin == "" {
		return nil
	}
	return checkAddress("admin_addr ("+EnvAdmin+")", c.Admin)
}

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

// readEnvironment reads what the environment alone has. Name and listen address are known by now.
func (c *Config) readEnvironment(getenv func(string) string) error {
	if value := getenv(EnvInheritedSocket); value != "" {
		fd, err := strconv.ParseUint(value, 10, 16)
		if err != nil || fd < firstInheritedFD {
			return keyError(EnvInheritedSocket, "%q is not the number of a descriptor from %d on", value, firstInheritedFD)
		}
		c.InheritedSocket = int(fd)
	}
	if dir := getenv(EnvTempDir); dir != "" {
		// Named for the gateway, as a machine's directory for such files may serve several.
		c.StateDir = filepath.Join(dir, "milletvane-"+fileNamePart(c.Name)+"-"+fileNamePart(c.Listen))
	}
	return nil
}

// fileNamePart keeps of a text what may stand in a file's name.
func fileNamePart(s string) string {
	b := []byte(s)
	for i, letter := range b {
		if !isAlphanumeric(letter) {
			b[i] = '_'
		}
	}
	return string(b[:min(len(b), maxFileNamePart)])
}

func isAlphanumeric(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}
