// Package responsehead checks the heads of HTTP responses for what net/http accepts although it is no HTTP: statuses and versions that do
// not exist, and names of fields that are no tokens. Backends in trouble send such bytes. Passed on, they would be taken for a response, and
// a field whose name is read in another way than it was meant, such as a length behind a blank, changes where the body ends.
package responsehead
