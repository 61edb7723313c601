export { describeSettings } from './describe-settings.js';
export { loadLenientSettings } from './load-lenient-settings.js';
export type {
  LenientSettings,
  LenientSettingsOptions,
  SettingsFallbacks,
} from './load-lenient-settings.js';
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
