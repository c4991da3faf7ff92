/** Entry point of the platform's program. */

import process from "node:process";
import { runNode } from "./run_node.ts";

/** Replaced by the bundler. */
declare const DANDELIONBANK_VERSION: string;

const version = typeof DANDELIONBANK_VERSION === "string"
  ? DANDELIONBANK_VERSION
  : "development";
const options = {
  args: process.argv.slice(2),
  environment: process.env,
  version,
};
void runNode(options).then((exitCode) => process.exit(exitCode));
