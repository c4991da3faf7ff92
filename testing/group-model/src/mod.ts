/** A model of a group of ranks. */

export { GroupModel } from "./group_model.ts";
export type { OrderDelivery } from "./group_model.ts";
