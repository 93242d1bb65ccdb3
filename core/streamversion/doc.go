// Package streamversion decides at which software version a stream may go on. What two versions of a
// service write does not fit together, so a stream stays with the version that wrote its first event.
//
// A client that takes a stream up names the attempt that brought the first event, not the version, and may
// come to any gateway. Two kinds of knowledge answer it:
//
//   - The Register of a service, one object in the platform's store: the only version at which streams begin
//     (settled), or that several do (mixed). While it is settled, nothing is kept outside of the gateway that
//     began a stream.
//   - Records, the versions of single streams, copied to other gateways (Holders) while the register is mixed.
//
// Why no stream changes its version. A gateway begins a stream at a version only if it is the settled one by
// its State, or if the State is mixed and has cleared the version. A version is cleared by a read or write of
// the register that found or made it mixed after the version was listed. So the register was mixed before the
// first event of a stream at any other version than the settled one. It settles again only when a gateway has
// listed a single version for SettleTime, wrote that the register is settling, and found that unchanged SettleTime
// later. Who clears another version meanwhile reads that and takes it back. A version that was cleared before stays
// so only while it is listed without a break, so that the gateway that settles lists it as well, or its streams
// began so early that none is taken up any more: SettleTime exceeds MaxStreamTime and MaxStateAge together.
// A State that was without the store for longer than MaxStateAge knows nothing. Therefore a read of the
// register, begun after a client came back and found settled, proves the version of each stream that has no
// record. While the register is mixed, a stream without a record is refused. The loss of records can't
// cause a wrong decision, only a refusal.
package streamversion
