/** Finds the line of a key in the text of a TOML file, for the place of a finding. */

const tablePattern = /^\s*\[\[?\s*([^\]]+?)\s*\]\]?/;
const keyPattern = /^\s*([A-Za-z0-9_."'-]+)\s*=/;

/** Returns the line of the key, counted from 1, or else of the nearest enclosing table. */
export function findKeyLine(text: string, pathParts: readonly string[]): number | undefined {
    const keyPath = pathParts.filter(part => !/^\d+$/.test(part)).join(".");
    let table = "";
    let tableLine: number | undefined;
    for (const [index, line] of text.split("\n").entries()) {
        const header = tablePattern.exec(line)?.[1];
        if (header !== undefined) {
            table = header;
            tableLine = keyPath.startsWith(`${table}.`) ? index + 1 : tableLine;
            tableLine = keyPath === table ? index + 1 : tableLine;
            continue;
        }
        const key = keyPattern.exec(line)?.[1];
        if (key !== undefined && [table, key].filter(part => part !== "").join(".") === keyPath) {
            return index + 1;
        }
    }
    return tableLine;
}
