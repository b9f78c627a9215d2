/** The embedded trial run. */
export {};
