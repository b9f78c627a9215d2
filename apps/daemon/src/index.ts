/** The parts of tamarackd that its tests use. */

export * from "./lib/Daemon.js";
export * from "./lib/settings/Settings.js";
