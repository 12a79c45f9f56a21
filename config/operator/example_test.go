package operator_test

import (
	"fmt"

	"example.org/milletvane/config/operator"
)

// All errors of a file are reported at once.
func ExampleParse() {
	_, err := operator.Parse("operator.edn", []byte(`(nats
  (listen "127.0.0.1:4222")
  (cluster yes)
  (ping-every 3))`), nil)
	fmt.Println(err)
	// Output:
	// operator.edn:3: nats.cluster: yes is not true or false
	// operator.edn:4: nats.ping-every: 3 is not a time such as "250ms"
}
