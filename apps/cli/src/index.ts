/** The operators' command-line client. */
export {};
