// Package head rejects heads of answers that net/http parses although HTTP/1.1 does not allow them: fields whose names contain
// whitespace, folded lines, transfer codings of HTTP/1.0 and undefined statuses. A length or a transfer coding that is not
// recognized goes unnoticed, and the body ends in another place than its sender's.
package head
