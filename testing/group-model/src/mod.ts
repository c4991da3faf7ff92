/** A model of a group of ranks, for tests of the switch of its expert map. */

export { GroupModel } from "./group_model.ts";
export type { OrderDelivery } from "./group_model.ts";
