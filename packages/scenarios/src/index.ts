/** The scenario runner. */
export {};
