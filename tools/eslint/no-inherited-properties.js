/**
 * Lint rule: a property whose name is any string must not be looked up in a plain object. Names from outside may be those of properties
 * that every object inherits (`constructor`, `__proto__`), which are neither undefined nor own. Maps and `getOwn` have no such entries.
 */
// eslint-disable-next-line import-x/no-extraneous-dependencies -- runs only with the linter
import ts from 'typescript';

function isAnyString(type) {
  if (type.isUnion()) return type.types.some(isAnyString);
  return type.flags === ts.TypeFlags.String;
}

/** Lint rule `kingcupsill/no-inherited-properties`; it needs type information. */
export const noInheritedProperties = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      lookup: 'The name may be that of an inherited property; use a Map or getOwn.',
    },
  },
  create(context) {
    const { program, esTreeNodeToTSNodeMap } = context.sourceCode.parserServices;
    const checker = program.getTypeChecker();

    function check(node, name) {
      const type = checker.getTypeAtLocation(esTreeNodeToTSNodeMap.get(name));
      if (isAnyString(checker.getBaseConstraintOfType(type) ?? type))
        context.report({ node, messageId: 'lookup' });
    }

    return {
      'MemberExpression[computed=true]': (node) => check(node, node.property),
      'BinaryExpression[operator="in"]': (node) => check(node, node.left),
    };
  },
};
