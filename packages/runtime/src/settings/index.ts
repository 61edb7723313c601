export { describeSettings } from './describe-settings.js';
export { loadSettings } from './load-settings.js';
export {
  adminSection,
  isLoopbackHost,
  linkDialerSection,
  linkSection,
  platformSection,
  processSection,
} from './sections.js';
export type * from './types.js';
