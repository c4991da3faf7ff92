/** Registration of a process in the platform's objects. */

export { ProcessRegistration } from "./process_registration.ts";
export type { ProcessRegistrationOptions } from "./process_registration.ts";
