/** Creates the process of each role of the program. */

import type { Logger } from "@dandelionbank/log-events";
import type { Registry } from "@dandelionbank/metrics";
import type { BootSettings } from "@dandelionbank/platform-adapter";
import type { RunningProcess } from "@dandelionbank/stop-process";
import { IngressProcess } from "@dandelionbank/serve-ingress";
import { RankProcess } from "@dandelionbank/serve-rank";

export interface RoleOptions {
  readonly settings: BootSettings;
  readonly logger: Logger;
  readonly registry: Registry;
}

export const ROLES: ReadonlySet<string> = new Set(["entry", "rank"]);

export async function createRole(
  role: string,
  options: RoleOptions,
): Promise<RunningProcess> {
  if (role === "rank") return RankProcess.create(options);
  return await IngressProcess.create(options);
}
