/** Routes of requests. */

export {
  chooseService,
  createRouteTable,
  findKeyHolder,
  matchRoute,
} from "./match_route.ts";
export type { RouteTable } from "./match_route.ts";
