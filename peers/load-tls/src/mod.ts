/** Loads keys and certificates, and reloads them when their files are replaced. */

export { createConnector } from "./connector.ts";
export type { ConnectorOptions } from "./connector.ts";
export { TlsMaterial } from "./tls_material.ts";
export type { TlsMaterialOptions } from "./tls_material.ts";
