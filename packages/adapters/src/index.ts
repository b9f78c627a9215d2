/** Adapters that implement the core's ports over HTTP and WebSocket, and helpers that the processes share. */

export * from "./lib/answerEarly.js";
export * from "./lib/AnswerRoom.js";
export * from "./lib/ClientGuard.js";
export * from "./lib/collectBody.js";
export * from "./lib/EtcdKeyValue.js";
export * from "./lib/GuardedKeyValue.js";
export * from "./lib/hopByHopHeaders.js";
export * from "./lib/HttpEngine.js";
export * from "./lib/HttpHostList.js";
export * from "./lib/HttpPlainService.js";
export * from "./lib/MonotonicClock.js";
export * from "./lib/peerToken.js";
export * from "./lib/readToml.js";
export * from "./lib/stopSignals.js";
export * from "./lib/SystemClock.js";
export * from "./lib/WsPeerNetwork.js";
