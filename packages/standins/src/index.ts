/** Stand-ins for the external systems that tamarackpath depends on, for tests, trials and benchmarks. */

export * from "./lib/clients/crowdChecks.js";
export * from "./lib/clients/CrowdClient.js";
export * from "./lib/clients/crowds.js";
export * from "./lib/completionText.js";
export * from "./lib/EngineStandIn.js";
export * from "./lib/fleet/DaemonProcess.js";
export * from "./lib/fleet/Fleet.js";
export * from "./lib/fleet/FleetNetwork.js";
export * from "./lib/fleet/freePorts.js";
export * from "./lib/HostListStandIn.js";
export * from "./lib/KeyValueStandIn.js";
export * from "./lib/LinkStandIn.js";
export * from "./lib/PlainServiceStandIn.js";
export * from "./lib/StandInServer.js";
export * from "./lib/WeightStoreStandIn.js";
