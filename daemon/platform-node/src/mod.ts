/** The program of each VM. */

export { runNode } from "./run_node.ts";
export type { NodeOptions } from "./run_node.ts";
