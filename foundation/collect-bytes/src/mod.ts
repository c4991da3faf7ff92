/** Collects pieces of bytes in one growing buffer. */

export { ByteCollector } from "./byte_collector.ts";
export type { ByteCollectorOptions } from "./byte_collector.ts";
