/** The entry process on the platform. */

export { IngressProcess } from "./ingress_process.ts";
export type { IngressOptions } from "./ingress_process.ts";
