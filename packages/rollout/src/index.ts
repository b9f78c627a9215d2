/** The tasks of a host: store and run jobs, forward calls, and coordinate weight versions through a shared store. */

export { type CallAnswer } from "./lib/CallAnswer.js";
export * from "./lib/CallForwarder.js";
export * from "./lib/Journal.js";
export * from "./lib/journalEvents.js";
export { permitOutcomes } from "./lib/RequestPermits.js";
export * from "./lib/RolloutHost.js";
export * from "./lib/RolloutSettings.js";
export { usageOutcomes } from "./lib/UsageTask.js";
