// Bundles the program that the platform's hosts run into one file, so that a start reads a single file. An argument names another
// file to write.
import { build } from "esbuild";

const [outfile = "target/tamarackd.cjs"] = process.argv.slice(2);

await build({
    entryPoints: ["platform/src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile,
    conditions: ["tamarackpath-source"],
    // The text of the program stays in each process's memory. Names are kept, as logged errors show them.
    minifySyntax: true,
    minifyWhitespace: true,
    // Node.js parses the line of a failed assertion to describe it. A line of megabytes would block the process for seconds.
    lineLimit: 500,
    logLevel: "warning",
});
