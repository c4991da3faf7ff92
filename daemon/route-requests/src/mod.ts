/** The task in which an entry routes requests. */

export { RequestMetrics } from "./request_metrics.ts";
export { RequestTask } from "./request_task.ts";
export type { RequestTaskOptions } from "./request_task.ts";
export { TicketSigner } from "./ticket_signer.ts";
