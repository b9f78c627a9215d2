/** Typed clients for trainers, callers and operators. */

export * from "./lib/callApi.js";
export * from "./lib/CallerClient.js";
export * from "./lib/HostRotation.js";
export * from "./lib/OperatorClient.js";
export * from "./lib/TrainerClient.js";
export * from "./lib/UnusedIdempotencyKeys.js";
