/** The roles of the program, each with the code that only it needs. */

import type { Logger } from "@dandelionbank/log-events";
import type { Registry } from "@dandelionbank/metrics";
import type { BootSettings } from "@dandelionbank/platform-adapter";
import type { RunningProcess } from "@dandelionbank/run-process";
import { IngressProcess } from "@dandelionbank/serve-ingress";
import { RankProcess } from "@dandelionbank/serve-rank";

export interface RoleParts {
  readonly settings: BootSettings;
  readonly logger: Logger;
  readonly registry: Registry;
}

export const ROLES: ReadonlySet<string> = new Set(["entry", "rank"]);

export async function createRole(
  role: string,
  parts: RoleParts,
): Promise<RunningProcess> {
  if (role === "rank") return RankProcess.create(parts);
  return await IngressProcess.create(parts);
}
