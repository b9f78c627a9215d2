/** Benchmark of the routing policies. */

export * from "./lib/Measures.js";
export * from "./lib/virtual/VirtualZone.js";
export * from "./lib/workloads.js";
