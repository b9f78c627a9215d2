/** Command line of the benchmark. */

import { createBenchCommand } from "./lib/benchCommand.js";

createBenchCommand().parse(process.argv);
