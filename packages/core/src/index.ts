/** Decisions of tamarackpath, free of I/O, timers and clocks, and the ports that they need. */

export * from "./lib/answers/Claim.js";
export * from "./lib/answers/Ticket.js";
export * from "./lib/answers/TicketBook.js";
export * from "./lib/config/ConfigApply.js";
export * from "./lib/config/ConfigDifference.js";
export * from "./lib/config/ConfigDocument.js";
export * from "./lib/config/ConfigHistory.js";
export * from "./lib/config/ConfigLedger.js";
export * from "./lib/config/readConfigText.js";
export * from "./lib/delivery/Cursor.js";
export * from "./lib/delivery/StepLedger.js";
export * from "./lib/delivery/StepSpec.js";
export * from "./lib/findings.js";
export * from "./lib/ids.js";
export * from "./lib/membership/rendezvous.js";
export * from "./lib/ports/Clock.js";
export * from "./lib/ports/HostList.js";
export * from "./lib/ports/KeyValue.js";
export * from "./lib/ports/PeerNetwork.js";
export * from "./lib/ports/PeerRequests.js";
export * from "./lib/ports/Targets.js";
export * from "./lib/Problem.js";
export * from "./lib/routing/DispatchQueue.js";
export * from "./lib/routing/policies.js";
export * from "./lib/routing/TargetView.js";
export * from "./lib/routing/Work.js";
